package entry

import "errors"

var errStopping = errors.New("this node ends before the answer came")

// EndWaitingRequests answers the requests that still wait for a target, as not-run or
// unknown, since the process ends soon and would cut them. Answers that are
// being delivered go on.
func (e *Entry) EndWaitingRequests() { e.end() }
