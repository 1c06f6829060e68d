package acceptor

import "syscall"

// descriptorFraction is the part of the descriptors that accepted connections may take. The others are for the
// node's own connections and files.
const descriptorFraction = 0.75

// MaxConnections returns the number of connections that may be accepted by a process that may have most
// descriptors for connections, or no more than its limit of open files if most is 0.
func MaxConnections(most int) (int, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return int(float64(most) * descriptorFraction), err
	}
	if most <= 0 || files.Cur < uint64(most) {
		most = int(min(files.Cur, 1<<30))
	}
	return int(float64(most) * descriptorFraction), nil
}
