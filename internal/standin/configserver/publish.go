package configserver

// This file publishes tables.

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthstile/jacinthstile/internal/table/fleettable"
	"github.com/jacinthstile/jacinthstile/internal/table/manifest"
)

// Publish publishes a frozen table. The manifest is put last, so that the parts it
// refers to can be read by then.
func (srv *Server) Publish(table *fleettable.Table) error {
	m, objects, err := manifest.Pack(table)
	if err != nil {
		return err
	}
	for digest, data := range objects {
		srv.Put(manifest.PartPrefix+digest, data)
	}
	data, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("publishing table: %w", err)
	}
	srv.Put(manifest.Key, data)
	return nil
}
