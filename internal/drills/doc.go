// Package drills tests how a fleet of real processes under a small steady load handles
// operator actions and outages: publications, recalls, withdrawn keys, platform outages,
// partitions, pauses and replaced hosts.
//
// Two fleets are started once and reused. Each drill restores the state of its fleet:
// all hosts ready and the initial rules in force, under a higher revision.
package drills
