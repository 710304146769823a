// Package node is the entry point of the library. It runs one node: its
// listeners, its supervised services, its admin interface and its drain.
// Several nodes can run in one process.
//
// It imports process packages and the packages below them.
package node
