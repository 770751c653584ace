package fleet

// Manifest is the configuration of the example fleet.
const Manifest = `[keys]
window = 10m
tolerance = 5s
grant = 10m

[service stockdesk]
hosts = stockdesk
probes = 20
bytes = 64KiB
cross = 4KiB
spill = 1MiB
retries = 0.2
attempts = 3
hedges = 0.02

[rule stockdesk lookup]
methods = GET
path = /stock/{id}
kind = idempotent
deadline = 2s
body = 0

[rule stockdesk orders]
methods = POST
path = /orders
kind = non-idempotent
deadline = 5s
body = 64KiB

[rule stockdesk label]
methods = GET
path = /label/{size}
kind = idempotent
deadline = 30s
body = 0

[service routehall]
hosts = routehall
probes = 10
bytes = 32KiB
cross = 4KiB
spill = 1MiB
retries = 0.2
attempts = 3

[rule routehall lookup]
methods = GET
path = /stock/{id}
kind = idempotent
deadline = 2s
body = 0

[rule routehall orders]
methods = POST
path = /orders
kind = non-idempotent
deadline = 5s
body = 64KiB
`
