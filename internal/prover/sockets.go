package prover

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Sockets returns the number of the process's open sockets.
func (p *Process) Sockets() (int, error) {
	descriptors := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(descriptors)
	if err != nil {
		return 0, fmt.Errorf("sockets of %s: %w", p.Name, err)
	}
	count := 0
	for _, entry := range entries {
		// A descriptor may be closed meanwhile.
		if target, err := os.Readlink(filepath.Join(descriptors, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count, nil
}

// UnreadBytes returns the number of bytes that were received at the IPv4 address and not read by its process, over all TCP connections.
func UnreadBytes(ip string) (int64, error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return 0, err
	}
	octets := address.As4()
	var swapped [4]byte
	binary.NativeEndian.PutUint32(swapped[:], binary.BigEndian.Uint32(octets[:]))
	local := strings.ToUpper(hex.EncodeToString(swapped[:])) + ":"
	total := int64(0)
	// A process that uses IPv6 sockets for IPv4 has its connections in the second table.
	for table, prefix := range map[string]string{"/proc/net/tcp": local, "/proc/net/tcp6": "0000000000000000FFFF0000" + local} {
		bytes, err := unreadBytesOf(table, prefix)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return total, nil
}

// unreadBytesOf adds up the receive queues of the table's established connections whose local address has the prefix.
func unreadBytesOf(table, prefix string) (int64, error) {
	const (
		localField  = 1
		stateField  = 3
		queuesField = 4
		established = "01"
	)
	file, err := os.Open(table)
	if err != nil {
		return 0, fmt.Errorf("receive queues: %w", err)
	}
	defer file.Close()
	total := int64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= queuesField || !strings.HasPrefix(fields[localField], prefix) || fields[stateField] != established {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		bytes, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("receive queues: %w", err)
		}
		total += bytes
	}
	return total, lines.Err()
}
