package node

import "syscall"

// maxDescriptors returns the bound of the process on open file descriptors, 0 when it
// is not known.
func maxDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}
