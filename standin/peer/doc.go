// Package peer is a raw stand-in for either side of a connection. It sends and reads bytes
// as a script says and ends the connection in each way that TCP knows. What it sends is
// generated from a name, so that the other end can check it without a copy.
//
// It imports only the standard library.
package peer
