package garnetworks

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// ContentDigest identifies what a call asks for, and for whom: calls of one workspace with
// the same host, target and body have the same digest, whichever node receives them and
// whatever identifiers the clients give them. It is digestBytes bytes in lower-case hex.
type ContentDigest string

// PromptPart identifies a part of a prompt, such as a system prompt or a document. Prompts of
// different calls share parts.
type PromptPart string

// MaxSharedParts bounds the parts of a prompt by which a call is known.
const MaxSharedParts = 32

// digestBytes is the length of a digest. At 128 bits of SHA-256 a caller can't construct a
// body that has the digest of another workspace's call, and so be taken for that call.
const digestBytes = 16

// ContentDigest returns the digest of the call for the workspace that its key belongs to;
// workspace is empty if the call needs no key.
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

// digestOf returns the digest of names and a body. Each name is prefixed with its length,
// so that different splits of the same bytes have different digests.
func digestOf(body []byte, names ...string) ContentDigest {
	h := sha256.New()
	for _, name := range names {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(name)))
		_, _ = h.Write(length[:]) // hash.Hash never returns an error
		_, _ = h.Write([]byte(name))
	}
	_, _ = h.Write(body)
	return ContentDigest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}
