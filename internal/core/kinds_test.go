package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/core"
)

// TestAllKindsRegistered guards against an event or effect that recordings do not know or that encoding/json cannot
// restore.
func TestAllKindsRegistered(t *testing.T) {
	_, err := core.EventKinds()
	require.NoError(t, err)
	_, err = core.EffectKinds()
	require.NoError(t, err)

	source, err := os.ReadFile("kinds.go")
	require.NoError(t, err)

	files, err := filepath.Glob("../*/*.go")
	require.NoError(t, err)

	found := 0

	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}

		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)

		for _, declaration := range file.Decls {
			function, ok := declaration.(*ast.FuncDecl)
			if !ok || function.Recv == nil || (function.Name.Name != "isEvent" && function.Name.Name != "isEffect") {
				continue
			}

			found++
			name := file.Name.Name + "." + function.Recv.List[0].Type.(*ast.Ident).Name
			require.Contains(t, string(source), name+"{}", "%s is not registered", name)
		}
	}

	require.Positive(t, found)
}
