// Package membudget decides which connections may hold memory. It guards against clients
// that make a process hold more memory than its host has: many requests with thousands of
// short header lines, heads and bodies without an end, responses that nobody reads, and
// thousands of connections that send nothing.
//
// Each connection has a Holder, to which the memory that the connection holds is
// charged. The sum of all charges stays within a budget. When it is reached, the
// connections that hold the most and run no request are closed, or the memory that
// was asked for is refused. A part of the budget is reserved for holders of the size of
// an ordinary request.
//
// It imports only the standard library.
package membudget
