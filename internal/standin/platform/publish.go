package platform

// This file publishes tables.

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
)

// Publish puts a frozen table under its keys, the manifest last.
func (p *Platform) Publish(s *fleettable.Table) error {
	m, objects, err := manifest.Pack(s)
	if err != nil {
		return err
	}
	for digest, data := range objects {
		p.Put(manifest.PartPrefix+digest, data)
	}
	data, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("publishing table: %w", err)
	}
	p.Put(manifest.Key, data)
	return nil
}
