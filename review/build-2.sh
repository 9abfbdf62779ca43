#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The deploy file's build comes first.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
go build -tags review -o target/review-standin-2 ./review/standin-2 || exit
exec go build -tags review -o target/review-standin-3 ./review/standin-3
