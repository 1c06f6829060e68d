package garnetworks

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of a prompt prefix block in bytes.
const PrefixBlockBytes = 256

// PrefixBlocks returns the hashes of the prompt's complete prefix blocks, at most
// limit of them, as engines report them in cache events. Each hash covers the model,
// the adapter, the block and all blocks before it.
func PrefixBlocks(model ModelName, adapter AdapterName, prompt string, limit int) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, limit)
	if count <= 0 {
		return nil
	}
	return AppendPrefixBlocks(make([]uint64, 0, count), model, adapter, prompt, limit)
}

// AppendPrefixBlocks appends the hashes that PrefixBlocks returns to hashes.
func AppendPrefixBlocks(hashes []uint64, model ModelName, adapter AdapterName, prompt string, limit int) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, limit)
	var previous [8]byte
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(model))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(adapter))
	for i := range count {
		binary.LittleEndian.PutUint64(previous[:], d.Sum64())
		d.Reset()
		_, _ = d.Write(previous[:])
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
