package membership

import "net/netip"

// ValidAddress reports whether s is the IP address of a host and a port from 1 to 65535,
// so that a connection to it can be opened.
func ValidAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() > 0 && address.Addr().Zone() == "" && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}
