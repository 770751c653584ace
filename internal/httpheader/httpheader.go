// Package httpheader treats the header fields that an intermediary must not pass on.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Prefix starts the names of all header fields that belong to the protocol between daemons.
const Prefix = "Tarragonmill-"

// hopByHop lists the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Forwardable returns a copy without hop-by-hop fields, fields named by Connection, Content-Length,
// and fields of the protocol between daemons.
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

// Copy adds all fields of from to to.
func Copy(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
