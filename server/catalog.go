package server

import (
	"slices"
	"strings"

	"github.com/garnetworks/garnetworks"
)

// catalog indexes a manifest for lookups. It is built when the manifest changes, and immutable.
type catalog struct {
	accepted   *garnetworks.AcceptedManifest
	keys       KeyIndex
	workspaces map[garnetworks.WorkspaceName]*garnetworks.WorkspaceSpec
	models     map[garnetworks.ModelName]*garnetworks.ModelSpec
	services   map[garnetworks.ServiceName]*garnetworks.ServiceSpec
}

// currentCatalog returns the catalog of the current manifest.
func (s *Server) currentCatalog() (*catalog, error) {
	accepted, ok := s.options.Manifest.Manifest()
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindNotReady, "no manifest is in force yet")
	}
	if c := s.catalog.Load(); c != nil && c.accepted == accepted {
		return c, nil
	}
	c := s.newCatalog(accepted)
	s.catalog.Store(c)
	return c, nil
}

func (s *Server) newCatalog(accepted *garnetworks.AcceptedManifest) *catalog {
	m := &accepted.Manifest
	c := &catalog{
		accepted:   accepted,
		keys:       s.options.NewKeyIndex(m),
		workspaces: map[garnetworks.WorkspaceName]*garnetworks.WorkspaceSpec{},
		models:     map[garnetworks.ModelName]*garnetworks.ModelSpec{},
		services:   map[garnetworks.ServiceName]*garnetworks.ServiceSpec{},
	}
	for i := range m.Workspaces {
		c.workspaces[m.Workspaces[i].Name] = &m.Workspaces[i]
	}
	for i := range m.Models {
		c.models[m.Models[i].Name] = &m.Models[i]
	}
	for i := range m.Services {
		c.services[m.Services[i].Name] = &m.Services[i]
	}
	return c
}

// bearer is the scheme of the Authorization header, compared case-insensitively.
const bearer = "bearer "

// workspace returns the workspace that the key in an Authorization header belongs to.
func (c *catalog) workspace(authorization string) (*garnetworks.WorkspaceSpec, error) {
	if len(authorization) <= len(bearer) || !strings.EqualFold(authorization[:len(bearer)], bearer) {
		return nil, garnetworks.Errorf(garnetworks.KindUnauthenticated, "send the workspace key as Authorization: Bearer")
	}
	name, ok := c.keys.Lookup(authorization[len(bearer):])
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindUnauthenticated, "the workspace key is not valid")
	}
	spec, ok := c.workspaces[name]
	if !ok {
		return nil, garnetworks.Errorf(garnetworks.KindUnauthenticated, "the workspace key is not valid")
	}
	return spec, nil
}

// model splits "name" or "name:adapter" and checks that the workspace may call the model. A
// model of another workspace gets the same error as one that does not exist, so that its
// name is not disclosed.
func (c *catalog) model(workspace *garnetworks.WorkspaceSpec, name string) (garnetworks.ModelName, garnetworks.AdapterName, error) {
	model, adapter, _ := strings.Cut(name, adapterSeparator)
	spec, ok := c.models[garnetworks.ModelName(model)]
	if !ok || !slices.Contains(workspace.Models, spec.Name) {
		return "", "", garnetworks.Errorf(garnetworks.KindUnknownModel, "the workspace has no model %q", model)
	}
	if strings.Contains(name, adapterSeparator) && !slices.Contains(spec.Adapters, garnetworks.AdapterName(adapter)) {
		return "", "", garnetworks.Errorf(garnetworks.KindUnknownModel, "the model %q has no adapter %q", model, adapter)
	}
	return spec.Name, garnetworks.AdapterName(adapter), nil
}

const adapterSeparator = ":"

// service checks that the workspace may call the service.
func (c *catalog) service(workspace *garnetworks.WorkspaceSpec, name garnetworks.ServiceName) error {
	if _, ok := c.services[name]; !ok || !slices.Contains(workspace.Services, name) {
		return garnetworks.Errorf(garnetworks.KindUnknownService, "the workspace has no service %q", string(name))
	}
	return nil
}

// modelNames returns the values of "model" that the workspace may use, in the order of the
// manifest.
func (c *catalog) modelNames(workspace *garnetworks.WorkspaceSpec) []string {
	var names []string
	for i := range c.accepted.Manifest.Models {
		spec := &c.accepted.Manifest.Models[i]
		if !slices.Contains(workspace.Models, spec.Name) {
			continue
		}
		names = append(names, string(spec.Name))
		for _, a := range spec.Adapters {
			names = append(names, string(spec.Name)+adapterSeparator+string(a))
		}
	}
	return names
}
