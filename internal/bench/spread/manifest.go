package spread

import (
	"fmt"
	"strings"
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Services is the number of services at the target size.
const Services = 120

// Manifest returns the text of a valid manifest with five rules per service. The number makes texts
// differ from each other, as a change to one service does.
func Manifest(services, number int) string {
	m := manifest.Manifest{Keys: manifest.Keys{
		Window: 10 * time.Minute, Tolerance: 5 * time.Second, Grant: 10 * time.Minute,
	}}

	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		service := manifest.Service{
			Name: name, Hosts: []string{name, name + ".mesh.example"},
			Budget: manifest.Budget{Probes: 20, Bytes: 64 << 10, Cross: 4 << 10, Spill: 1 << 20},
			Retry:  manifest.Retry{Share: 0.2, Attempts: 3},
			Hedge:  manifest.Hedge{Share: 0.02, Quantile: 0.95},
		}

		for _, rule := range []string{"lookup", "search", "label", "orders", "payments"} {
			kind, methods := manifest.Idempotent, []string{"GET"}
			if strings.HasSuffix(rule, "s") {
				kind, methods = manifest.NonIdempotent, []string{"POST"}
			}

			service.Rules = append(service.Rules, manifest.Rule{
				Name: rule, Methods: methods, Path: "/" + rule + "/{id}", Kind: kind,
				Deadline: 2 * time.Second, Body: 64 << 10,
			})
		}

		m.Services = append(m.Services, service)
	}

	m.Services[number%services].Budget.Probes = float64(1 + number)

	return string(manifest.Format(m))
}

// Validate is the check that daemons apply to a manifest.
func Validate(text string) error {
	_, err := manifest.Parse("manifest", []byte(text))

	return err
}
