package backendlink

import (
	"net"
	"syscall"
)

// alive reports whether an idle connection can carry a request. A server that
// closed it has sent an end of stream, which would otherwise be noticed only
// after the request has left, when nobody can say any more whether it ran.
// Bytes that wait on an idle connection belong to no request; they end it too.
func alive(link net.Conn) bool {
	raw, ok := link.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	standing := false
	readErr := control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		standing = err == syscall.EAGAIN
		return true
	})
	return readErr == nil && standing
}
