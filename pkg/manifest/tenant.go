package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/ini"
)

// Tenant is a customer whose callers present one of its API keys.
type Tenant struct {
	Name string
	// Keys are the digests of the tenant's API keys. A tenant without keys is known, but none of its requests is accepted.
	Keys []KeyDigest
	// Ranked is set if Priority replaces the priority of the rule; 0 is the highest.
	Ranked   bool
	Priority int
	// Rate is the number of requests per second, and Burst the number of requests beyond it, that the whole fleet accepts.
	// There is no limit if both are zero.
	Rate  float64
	Burst float64
	// Regions are the regions whose servers may run the tenant's requests; empty means all. The restriction of the rule
	// holds as well.
	Regions []string
}

// Limited reports whether the tenant has a rate limit.
func (t Tenant) Limited() bool { return t.Rate > 0 || t.Burst > 0 }

// KeyDigest is the SHA-256 digest of an API key. Manifests hold digests, so that they reveal no key, and keys are looked
// up by digest, so that the time of a look-up tells nothing about the keys that exist.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseKeyDigest parses the hexadecimal form of a digest.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest

	err := digest.UnmarshalText([]byte(text))

	return digest, err
}

// String returns the hexadecimal form.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler, for recordings.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if the text is not a digest.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	// The text is not part of the error, because it may be a key that was entered by mistake.
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.Newf("key is not a SHA-256 digest of %d hexadecimal digits", hex.EncodedLen(len(d)))
	}

	if _, err := hex.Decode(d[:], text); err != nil {
		return errors.New("key is not a hexadecimal SHA-256 digest")
	}

	return nil
}

// Bounds of values of a tenant, all inclusive.
const (
	// MaxRate bounds Tenant.Rate and Cold.Rate, in requests per second, and Tenant.Burst, in requests.
	MaxRate = 1_000_000
	// MaxKeys bounds the number of keys of one tenant.
	MaxKeys = 1_000
)

func decodeTenant(s *ini.Section) Tenant {
	priority := ini.Optional(s, "priority", noPriority, ini.Range(ini.Integer, 0, MaxPriority))

	return Tenant{
		Name:     s.Names[0],
		Keys:     ini.Optional(s, "keys", nil, ini.List(ParseKeyDigest)),
		Ranked:   priority != noPriority,
		Priority: max(0, priority),
		Rate:     ini.Optional(s, "rate", 0, ini.Number),
		Burst:    ini.Optional(s, "burst", 0, ini.Number),
		Regions:  ini.Optional(s, "regions", nil, ini.List(ini.Name)),
	}
}

// noPriority stands for a missing priority while a tenant is decoded.
const noPriority = -1

func formatTenant(out *bytes.Buffer, t Tenant) {
	fmt.Fprintf(out, "\n[%s]\n", tenantSection(t.Name))

	if len(t.Keys) > 0 {
		keys := make([]string, len(t.Keys))
		for i, key := range t.Keys {
			keys[i] = key.String()
		}

		writeKey(out, "keys", strings.Join(keys, ", "))
	}

	if t.Ranked {
		writeKey(out, "priority", strconv.Itoa(t.Priority))
	}

	if t.Limited() {
		writeKey(out, "rate", formatNumber(t.Rate))
		writeKey(out, "burst", formatNumber(t.Burst))
	}

	formatRegions(out, t.Regions)
}

// checkTenants checks the tenants and returns them by the digests of their keys.
func (c *checker) checkTenants(tenants []Tenant) map[KeyDigest]*Tenant {
	byKey := make(map[KeyDigest]*Tenant)
	names := make(map[string]bool, len(tenants))

	for i := range tenants {
		tenant := &tenants[i]
		c.section = tenantSection(tenant.Name)

		if !ini.IsName(tenant.Name) {
			c.addProblem("", "%q is not a name of lower-case letters, digits, hyphens and dots", tenant.Name)
		}

		if names[tenant.Name] {
			c.addProblem("", "tenant is declared twice")
		}

		names[tenant.Name] = true

		checkRange(c, "priority", tenant.Priority, 0, MaxPriority)
		checkRange(c, "rate", tenant.Rate, 0, MaxRate)
		checkRange(c, "burst", tenant.Burst, 0, MaxRate)
		c.checkRegions(tenant.Regions)

		if len(tenant.Keys) > MaxKeys {
			c.addProblem("keys", "%d keys are more than %d", len(tenant.Keys), MaxKeys)
		}

		for _, key := range tenant.Keys {
			if other, found := byKey[key]; found {
				c.addProblem("keys", "key %s… already belongs to tenant %s", key.String()[:8], other.Name)
			}

			byKey[key] = tenant
		}
	}

	return byKey
}

func (c *checker) checkRegions(regions []string) {
	for i, region := range regions {
		if !ini.IsName(region) {
			c.addProblem("regions", "%q is not a name of lower-case letters, digits, hyphens and dots", region)
		}

		if slices.Contains(regions[:i], region) {
			c.addProblem("regions", "region %s is listed twice", region)
		}
	}
}
