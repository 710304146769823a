// Package upload lets a handler forward the body of its request while the response to
// that request may already be on its way, as a target may answer before it has read a
// long body.
//
// Without it, net/http's server reads and drops up to 256 KiB of a body when its response
// begins. What was forwarded would then continue behind a gap.
//
// It imports nothing else of this module.
package upload
