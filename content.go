package garnetworks

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
)

// ContentDigest identifies what a call asks for, and for whom: calls of one workspace with
// the same host, target and body have the same digest, whichever node receives them and
// whatever identifiers the clients give them. It is digestBytes bytes in lower-case hex.
type ContentDigest string

// PromptPart identifies a part of a prompt, such as a system prompt or a document. Prompts of
// different calls share parts.
type PromptPart string

// PromptPartOf returns the identifier of a part with a text.
func PromptPartOf(text string) PromptPart {
	return PromptPart(digestOf([]byte(text)))
}

// MaxSharedParts bounds the parts of a prompt that identify a call; further ones are ignored.
const MaxSharedParts = 32

// partDigestPrefix begins the digests of parts of prompts. Those for a workspace or a model have its
// scope behind it.
const (
	partDigestPrefix = "part-"
	workspaceScope   = "workspace"
	modelScope       = "model"
)

// IsPart reports whether the digest is that of a part of prompts rather than of a whole call.
func (d ContentDigest) IsPart() bool { return strings.HasPrefix(string(d), partDigestPrefix) }

// IsScopedPart reports whether the digest is that of a part in the calls of one workspace, or to one
// model.
func (d ContentDigest) IsScopedPart() bool {
	return strings.HasPrefix(string(d), partDigestPrefix+workspaceScope+"-") || strings.HasPrefix(string(d), partDigestPrefix+modelScope+"-")
}

// CallIdentity is what a call has in common with others that may crash the same servers.
type CallIdentity struct {
	// ID is the identifier of the call itself.
	ID CallID
	// Content is common to copies of the call.
	Content ContentDigest
	// Parts are common to calls that share a part of their prompts: for each part one digest for
	// the calls of all workspaces and models, one for those of the call's workspace, and one for
	// those to its model.
	Parts []ContentDigest
}

// Has reports whether the digest is one of the call's.
func (c *CallIdentity) Has(digest ContentDigest) bool {
	return c.Content == digest || slices.Contains(c.Parts, digest)
}

// digestBytes is the length of a digest. At 128 bits of SHA-256 a caller can't construct a
// body that has the digest of another workspace's call, and so be taken for that call.
const digestBytes = 16

// ContentDigest returns the digest of the call for the workspace that its key belongs to;
// workspace is empty if the call needs no key.
func (c *ProxiedCall) ContentDigest(workspace WorkspaceName) ContentDigest {
	return digestOf(c.Body, string(workspace), c.Host, c.Target)
}

// Identity returns the call's identity for the workspace that its key belongs to.
func (c *ProxiedCall) Identity(workspace WorkspaceName) CallIdentity {
	return CallIdentity{ID: c.ID, Content: c.ContentDigest(workspace), Parts: partDigests(c.SharedParts, workspace, c.Model)}
}

// partDigests returns the digests by which parts of a prompt are known.
func partDigests(parts []PromptPart, workspace WorkspaceName, model ModelName) []ContentDigest {
	var digests []ContentDigest
	for _, part := range parts {
		digests = append(
			digests,
			partDigestPrefix+digestOf(nil, "", "", string(part)),
			partDigestPrefix+workspaceScope+"-"+digestOf(nil, workspaceScope, string(workspace), string(part)),
			partDigestPrefix+modelScope+"-"+digestOf(nil, modelScope, string(model), string(part)),
		)
	}
	return digests
}

// Identity returns the call's identity.
func (c *CallRequest) Identity() CallIdentity {
	return CallIdentity{
		ID:      c.ID,
		Content: digestOf([]byte(c.Prompt), string(c.Workspace), string(c.Model), string(c.Adapter)),
		Parts:   partDigests(c.SharedParts, c.Workspace, c.Model),
	}
}

// Identity returns the call's identity.
func (c *ServiceCall) Identity() CallIdentity {
	return CallIdentity{ID: c.ID, Content: digestOf(c.Body, string(c.Workspace), string(c.Service), c.Path)}
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
