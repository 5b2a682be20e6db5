package controllerclient

import "fmt"

// Lineage is the latest lineage that a controller spoke for. A process that outlives a restart stores it and hands it to
// CheckLineage at the next start.
func (c *Client) Lineage() Lineage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lineage
}

// CheckLineage takes a lineage over, or fails with ErrOtherLineage where it is not believed.
//
// Guards a primary against controllers that know nothing of it: emptied ones, or ones from before a rebuild. Controllers that
// were emptied on purpose look the same; silvercovectl fleet rebuild raises the generation, and all believe it.
func (c *Client) CheckLineage(lineage Lineage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch known := c.lineage; {
	case lineage.Generation < known.Generation:
		return fmt.Errorf("%w: generation %d, and placement was rebuilt as %d", ErrOtherLineage, lineage.Generation, known.Generation)
	case lineage.Generation == known.Generation && known.OriginID != "" && lineage.OriginID != known.OriginID:
		return fmt.Errorf("%w: their log began as %s, not as %s; silvercovectl fleet rebuild goes on from what the units hold",
			ErrOtherLineage, lineage.OriginID, known.OriginID)
	}
	c.lineage = lineage
	return nil
}
