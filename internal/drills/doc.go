// Package drills tests what operators and outages do to a fleet of real
// processes under a small steady load: publications, recalls, withdrawn keys,
// outages of the platform, partitions, pauses and replaced hosts.
//
// Two fleets are started once and reused. Each drill leaves its fleet as it found
// it: all hosts ready and the rules as at the start, under a higher revision.
package drills
