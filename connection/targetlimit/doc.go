// Package targetlimit paces what a gate sends to a target that names the rate of
// requests it takes. It answers a target in need that more requests would push
// further into trouble, while the slots that it has announced are still free.
//
// The target names the rate in its responses, for as long as it is in need. Responses
// may arrive out of order, and a gate that has just started gets the rate from the
// entries that learned it before.
package targetlimit
