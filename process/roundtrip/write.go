package roundtrip

import (
	"errors"
	"os"
	"syscall"
)

// Write writes bytes of a request to the connection and counts them.
func (cn *conn) Write(p []byte) (int, error) {
	if cn.rawConn == nil {
		n, err := cn.netConn.Write(p)
		cn.bytesSent.Add(int64(n))
		return n, err
	}
	cn.writeRest = p
	err := cn.rawConn.Write(cn.writeFunc)
	if err == nil {
		err = cn.writeFailure()
	}
	n := len(p) - len(cn.writeRest)
	cn.writeRest = nil
	return n, err
}

// writeFD writes writeRest. It reports false when it has to wait until the connection takes
// more.
func (cn *conn) writeFD(fd uintptr) bool {
	for len(cn.writeRest) > 0 {
		cn.writeMu.Lock()
		n, err := syscall.Write(int(fd), cn.writeRest)
		if err != nil && err != syscall.EAGAIN && err != syscall.EINTR && cn.writeError == nil {
			cn.writeError = os.NewSyscallError("write", err)
		}
		cn.writeMu.Unlock()
		switch {
		case n > 0:
			cn.bytesSent.Add(int64(n))
			cn.writeRest = cn.writeRest[n:]
		case err == syscall.EAGAIN:
			return false
		case err != syscall.EINTR:
			return true
		}
	}
	return true
}

// writeFailure returns the error of the first write to the connection that failed.
func (cn *conn) writeFailure() error {
	cn.writeMu.Lock()
	defer cn.writeMu.Unlock()
	return cn.writeError
}

// readEndFailure returns nil when the end of the connection, which was just read, was sent by
// the peer, and otherwise why the connection failed.
//
// Linux reports the failure of a connection, such as a reset, to one call. When that is a
// write, the next read returns what has arrived and then io.EOF. The error of that write is
// known once writeMu is free; a write that still waits for room has got no error. After an end
// that the peer has sent, a write fails with EPIPE. So does a second write after a reset,
// which is why only the first error counts.
func (cn *conn) readEndFailure() error {
	if err := cn.writeFailure(); err != nil && !errors.Is(err, syscall.EPIPE) {
		return err
	}
	return nil
}
