package plat

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// processLoopbackIP returns a loopback IP address derived from the process id, so that no other process takes an unused port
// there, not even for an outgoing connection.
func processLoopbackIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// returnedAddresses are those that UnusedAddress has returned; they may not be in use yet.
var returnedAddresses sync.Map

// UnusedAddress returns a loopback address that is free for TCP and UDP and that it has not returned before.
func UnusedAddress() string {
	for {
		ln, err := net.Listen("tcp", processLoopbackIP()+":0")
		if err != nil {
			panic(err) // loopback is always available
		}
		address := ln.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		ln.Close()
		if err != nil {
			continue
		}
		packets.Close()
		if _, returned := returnedAddresses.LoadOrStore(address, struct{}{}); !returned {
			return address
		}
	}
}
