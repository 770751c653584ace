package record

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// maxManifest in bytes bounds what a packed manifest may unpack to. It is above the largest valid
// manifest.
const maxManifest = 4 << 20

// pack compresses a manifest: every daemon receives every change, in full.
func pack(manifest string) []byte {
	if manifest == "" {
		return nil
	}

	var packed bytes.Buffer

	// Neither the level nor writing to a buffer can fail.
	writer, _ := flate.NewWriter(&packed, flate.BestCompression)
	_, _ = io.WriteString(writer, manifest)
	_ = writer.Close()

	return packed.Bytes()
}

// unpack returns the manifest of a record that has it in either form.
func unpack(plain, packed []byte) (string, error) {
	if len(packed) == 0 {
		return string(plain), nil
	}

	manifest, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxManifest+1))
	if err != nil {
		return "", errors.Wrapf(ErrMalformed, "unpacking a manifest: %v", err)
	}

	if len(manifest) > maxManifest {
		return "", errors.Wrapf(ErrMalformed, "packed manifest of more than %d bytes", maxManifest)
	}

	return string(manifest), nil
}
