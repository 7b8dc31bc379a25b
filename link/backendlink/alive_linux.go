package backendlink

import (
	"net"
	"syscall"
)

// alive reports whether an idle connection can be used for a request. If the server
// has closed it, an end of stream is waiting, which would otherwise be detected only
// after the request was sent, when it is unknown whether the request ran. Waiting
// bytes belong to no request, so the connection can't be used either.
func alive(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	readErr := control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return readErr == nil && open
}
