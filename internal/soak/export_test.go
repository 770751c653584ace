package soak

import (
	"context"
	"net/netip"
)

// NewProxy returns a proxy for connections only, without datagrams.
func NewProxy(ctx context.Context, address, target netip.AddrPort) (*proxy, error) {
	return newProxy(ctx, address, target, false)
}

// FreeAddresses returns the given number of addresses, allocated as for a run.
func FreeAddresses(ctx context.Context, host netip.Addr, count int) ([]netip.AddrPort, error) {
	free := &addresses{ctx: ctx, host: host}
	all := make([]netip.AddrPort, 0, count)

	for range count {
		all = append(all, free.next())
	}

	return all, free.err
}

// Address returns the address at which the proxy listens.
func (p *proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}
