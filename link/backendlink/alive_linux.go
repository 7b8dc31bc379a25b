package backendlink

import (
	"net"
	"syscall"
)

// idleState returns the state of an idle connection. If the server has closed it, an end of
// stream is waiting, which would otherwise be detected only after the request was sent, when
// it is unknown whether the request ran. Waiting bytes belong to no request.
func idleState(conn net.Conn) connState {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return connOpen
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return connClosed
	}
	state := connClosed
	readErr := control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = connOpen
		case err == nil && n > 0:
			state = connHasBytes
		}
		return true
	})
	if readErr != nil {
		return connClosed
	}
	return state
}
