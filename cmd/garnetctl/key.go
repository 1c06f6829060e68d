package main

import (
	"fmt"

	"github.com/garnetworks/garnetworks/keymaker"
)

// keyCommands creates and hashes workspace keys.
type keyCommands struct {
	New  newKeyCommand  `cmd:"" help:"Make a key; it is shown once."`
	Hash hashKeyCommand `cmd:"" help:"Print the hash of a key read from standard input."`
}

// newKeyCommand creates a workspace key.
type newKeyCommand struct{}

// Run prints the key and its hash.
func (newKeyCommand) Run(s *session) error {
	key := keymaker.New()
	if s.json {
		return s.printJSON(key)
	}
	t := newTable()
	t.row("key", key.Secret)
	t.row("key-hash", key.Hash)
	if err := t.print(s.stdout); err != nil {
		return err
	}
	s.note("The key is not kept anywhere: hand it to the workspace now, and put the hash into the manifest.")
	return nil
}

// hashKeyCommand prints the hash of a key. It reads standard input, since arguments are
// visible to other users of the machine and stay in the shell's history.
type hashKeyCommand struct{}

// Run prints the hash.
func (hashKeyCommand) Run(s *session) error {
	var secret string
	if _, err := fmt.Fscan(s.stdin, &secret); err != nil || len(secret) != keymaker.Length {
		return &exitError{exitUsage, fmt.Errorf("standard input holds no key of %d letters and digits", keymaker.Length)}
	}
	hash := keymaker.Hash(secret)
	if s.json {
		return s.printJSON(map[string]string{"key-hash": hash})
	}
	_, err := fmt.Fprintln(s.stdout, hash)
	return err
}
