package soak

import (
	"context"
	"net/netip"
)

// NewProxy returns a proxy without datagrams.
func NewProxy(ctx context.Context, address, target netip.AddrPort) (*proxy, error) {
	return newProxy(ctx, address, target, false)
}

// Address is where the proxy listens.
func (p *proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}
