package controllerclient

import "fmt"

// Lineage returns the last lineage that CheckLineage accepted. A process whose state survives a restart stores the lineage and
// passes it to CheckLineage when it starts again.
func (c *Client) Lineage() Lineage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lineage
}

// CheckLineage accepts a controller's lineage as the current one. It fails with ErrOtherLineage if the generation is lower
// than the generation accepted last, or if the generations are equal and the log's origin is not the origin accepted last.
//
// The check protects a primary against controllers that have no record of the primary. The disks of such controllers were
// emptied, or are from before a rebuild of the assignments. CheckLineage can't tell whether disks were emptied by mistake or
// on purpose. After disks were emptied on purpose, the command "silvercovectl fleet rebuild" raises the generation, and every
// client accepts the higher generation.
func (c *Client) CheckLineage(lineage Lineage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch known := c.lineage; {
	case lineage.Generation < known.Generation:
		return fmt.Errorf("%w: generation %d, but placement was rebuilt as generation %d", ErrOtherLineage, lineage.Generation, known.Generation)
	case lineage.Generation == known.Generation && known.OriginID != "" && lineage.OriginID != known.OriginID:
		return fmt.Errorf("%w: log origin %s, expected %s; silvercovectl fleet rebuild restores placement from the edge nodes' copies",
			ErrOtherLineage, lineage.OriginID, known.OriginID)
	}
	c.lineage = lineage
	return nil
}
