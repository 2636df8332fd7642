package linker

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setSocketOptions configures TCP keep-alive and TCP_USER_TIMEOUT, so that the
// operating system detects dead peers. Errors are ignored, since a connection
// works without these options.
func setSocketOptions(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
