package entry

import "errors"

var errStopping = errors.New("this node stopped before the response arrived")

// EndWaitingRequests ends the requests that still wait for a response as not-run or
// unknown. The process stops soon and would cut their connections. Responses that
// are being delivered continue.
func (e *Entry) EndWaitingRequests() { e.cancelWaiting() }
