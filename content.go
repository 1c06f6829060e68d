package garnetworks

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// ContentDigest tells what a call asks for, and for whom: calls of one workspace with the
// same host, target and body have the same one, whichever node takes them and whatever
// identifiers clients give them. It is lower-case hex of contentBytes bytes.
type ContentDigest string

// digestBytes is the length of a digest's bytes. A caller that could make up a body with
// another workspace's digest could have that workspace's call taken for its own; against
// 128 bits of SHA-256 it can't.
const digestBytes = 16

// ContentDigest returns the call's digest, for the workspace whose key it has; empty for a call
// that needs no key.
func (c *ProxiedCall) ContentDigest(workspace WorkspaceName) ContentDigest {
	return digestOf(c.Body, string(workspace), c.Host, c.Target)
}

// ContentDigest returns the call's digest.
func (c *CallRequest) ContentDigest() ContentDigest {
	return digestOf([]byte(c.Prompt), string(c.Workspace), string(c.Model), string(c.Adapter))
}

// ContentDigest returns the call's digest.
func (c *ServiceCall) ContentDigest() ContentDigest {
	return digestOf(c.Body, string(c.Workspace), string(c.Service), c.Path)
}

// digestOf returns the digest of some names and a body. Each name stands behind its
// length, so that nothing moves from one to the next.
func digestOf(body []byte, names ...string) ContentDigest {
	h := sha256.New()
	for _, name := range names {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(name)))
		_, _ = h.Write(length[:]) // a hash takes all bytes
		_, _ = h.Write([]byte(name))
	}
	_, _ = h.Write(body)
	return ContentDigest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}
