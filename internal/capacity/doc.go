// Package capacity measures what an entry host costs as the fleet grows. A
// Cluster runs the reducers of one failure domain, and of the delegates of the
// others, in simulated time with stand-ins for engines and platform at the level
// of effects. It times each kind of event and counts the encoded bytes of all
// messages between hosts. Fit takes a slope from several sizes. The command in
// report regenerates the tables of docs/CAPACITY.md.
//
// The package belongs to the test side.
package capacity
