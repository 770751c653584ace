package request_test

import (
	"fmt"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Two restrictions without a common region allow none, which differs from no restriction.
func ExampleRegions_Intersect() {
	route := request.NewRegions([]string{"north", "south"})
	tenant := request.NewRegions([]string{"south", "east"})
	elsewhere := request.NewRegions([]string{"west"})

	fmt.Println(route.Intersect(tenant).Allows("south"), route.Intersect(tenant).Allows("north"))
	fmt.Println(route.Intersect(elsewhere).Allows("north"), request.Regions{}.Allows("north"))
	// Output:
	// true false
	// false true
}
