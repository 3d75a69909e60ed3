package operator

import (
	"maps"
	"net/http"
	"net/url"
	"slices"

	"github.com/labstack/echo/v5"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// zoneChanges maps the actions on availability zones to the kinds of change that they publish.
var zoneChanges = map[client.Action]record.Kind{
	client.ActionEvacuate: record.ZoneEvacuate,
	client.ActionRestore:  record.ZoneRestore,
}

func (s *Server) listZones(c *echo.Context, _ string) error {
	return c.JSON(http.StatusOK, client.ZonesReply{Zones: ZoneReplies(s.deps.Publisher.Catalog())})
}

// ZoneReplies returns the availability zones in a catalog, sorted by name.
func ZoneReplies(c *config.Catalog) []client.ZoneReply {
	replies := []client.ZoneReply{}
	for _, name := range slices.Sorted(maps.Keys(c.Zones)) {
		z := c.Zones[name]
		replies = append(replies, client.ZoneReply{Zone: name, Revision: z.Revision, Evacuated: z.Evacuated, Reason: z.Reason})
	}
	return replies
}

func (s *Server) changeZone(c *echo.Context, operator string) error {
	kind, ok := zoneChanges[client.Action(c.Param("action"))]
	if !ok {
		return notFound(c.Param("action"))
	}
	zone, err := url.PathUnescape(c.Param("name")) // the router leaves escaped names as they are
	if err != nil {
		return requestError(client.CodeBadRequest, http.StatusBadRequest, err)
	}
	var change client.ZoneChange
	if err := s.decodeBody(c, &change); err != nil {
		return err
	}
	return s.publish(c, record.Change{Kind: kind, Name: zone, Base: change.Base, Operator: operator, Reason: change.Reason})
}
