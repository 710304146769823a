// Package membership keeps what a node knows of the other nodes and their targets,
// by gossip with incarnations and failure detection. It is deterministic: time and
// randomness come from the caller. process/control transfers its messages.
//
// Every member has a pair (incarnation, version); a lower pair never replaces a
// higher one. Only the node itself raises its pair. Other nodes may claim that a
// pair is suspect or dead, and the node refutes a claim with a higher version. A
// dead claim about a node that is not suspect on the receiver is first verified by
// a ping. Otherwise, when two regions rejoin after a partition, the other region's
// tombstones would make the nodes of a region dead for their own side.
//
// Reports of a node's entry role (health, poison, demand) are opaque, bounded and
// throttled: each node may change its report once per
// max(1s, members x bytes x sends / budget), or once per second when it is urgent.
//
// It imports request packages.
package membership
