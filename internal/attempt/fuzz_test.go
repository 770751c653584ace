package attempt

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Guards against a call header from another daemon that crashes this one, or that decodes differently after it was
// encoded again.
func FuzzDecodeCall(f *testing.F) {
	f.Add(Call{
		Request: request.Request{ID: "r", Service: "s"}, Method: "GET", Target: "/", MaxWait: 5, MaxSlowness: 1.5,
	}.encode())

	f.Fuzz(func(t *testing.T, text string) {
		call, err := decodeCall(text)
		if err != nil {
			return
		}

		again, err := decodeCall(call.encode())
		require.NoError(t, err)
		require.Equal(t, call.encode(), again.encode())
	})
}

// Guards against a configuration from another daemon that crashes this one, or that decodes differently after it was
// encoded again.
func FuzzDecodeConfiguration(f *testing.F) {
	f.Add(EncodeConfiguration(Configuration{Version: 7, Epoch: 1, Record: []byte("{}"), Evacuated: []string{"d1"}}))

	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeConfiguration(data)
		if err != nil {
			return
		}

		again, err := DecodeConfiguration(EncodeConfiguration(c))
		require.NoError(t, err)
		require.Equal(t, EncodeConfiguration(c), EncodeConfiguration(again))
	})
}

// Guards against a reply header from another daemon that crashes this one, or that decodes differently after it was
// encoded again.
func FuzzDecodeReply(f *testing.F) {
	f.Add(Reply{ID: "r", Verdict: verdict.NotRun, Reason: "busy", Report: load.Report{Server: "a", Slots: 6}}.encode())

	f.Fuzz(func(t *testing.T, text string) {
		reply, err := decodeReply(text)
		if err != nil {
			return
		}

		again, err := decodeReply(reply.encode())
		require.NoError(t, err)
		require.Equal(t, reply.encode(), again.encode())
	})
}
