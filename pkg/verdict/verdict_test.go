package verdict_test

import (
	"fmt"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Guards against the repeat of a non-idempotent request that may have run.
func ExampleVerdict_MayRepeat() {
	const idempotent, nonIdempotent = true, false

	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Answered} {
		fmt.Println(v, v.MayRepeat(idempotent), v.MayRepeat(nonIdempotent))
	}
	// Output:
	// not-run true true
	// may-have-run true false
	// answered false false
}

// Guards against a malformed verdict that is treated as "not run".
func ExampleParse() {
	v, err := verdict.Parse("nonsense")
	fmt.Println(v, err)
	// Output: may-have-run "nonsense": unknown verdict
}
