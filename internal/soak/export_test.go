package soak

import (
	"context"
	"net/netip"
)

// NewProxy returns a proxy without datagrams.
func NewProxy(ctx context.Context, address, target netip.AddrPort) (*proxy, error) {
	return newProxy(ctx, address, target, false)
}

// FreeAddresses returns addresses that a run would use.
func FreeAddresses(ctx context.Context, host netip.Addr, count int) ([]netip.AddrPort, error) {
	free := &addresses{ctx: ctx, host: host}
	all := make([]netip.AddrPort, 0, count)

	for range count {
		all = append(all, free.next())
	}

	return all, free.err
}

// Address is where the proxy listens.
func (p *proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}
