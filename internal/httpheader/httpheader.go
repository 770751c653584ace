// Package httpheader removes the header fields that an intermediary must not forward, and finds names that are none.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Prefix is the prefix of the names of the project's own header fields, such as those of the protocol between daemons.
const Prefix = "Tarragonmill-"

// hopByHop lists the fields that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Forwardable returns a copy of a header without the hop-by-hop fields, the fields named in Connection, Content-Length,
// and the fields whose names start with Prefix.
func Forwardable(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		return http.Header{}
	}

	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}

	for _, name := range hopByHop {
		kept.Del(name)
	}

	kept.Del("Content-Length")

	for name := range kept {
		if strings.HasPrefix(name, Prefix) {
			delete(kept, name)
		}
	}

	return kept
}

// Copy appends the values of all fields of the second header to those of the first.
func Copy(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}

// InvalidName returns a name in a header that is not that of a field, such as one with a blank, and false if there is none.
func InvalidName(header http.Header) (string, bool) {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return name, true
		}
	}

	return "", false
}
