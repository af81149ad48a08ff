package edge

import (
	"fmt"
	"time"
)

// percent is the unit of the gauge of speeds.
const percent = 100

// speedGauges adds the learned speed and useful concurrency of each endpoint, unless they are not learned.
func (e *Edge) speedGauges(add func(string, int64)) {
	table := e.news.Table()
	if table == nil || !e.gate.Selector.LearnsSpeed() {
		return
	}
	for name, s := range table.Services {
		all := e.endpoints.OfService(name)
		for _, ep := range all {
			speed, useful := e.gate.Selector.Learned(time.Now(), s, all, ep.ID)
			add(fmt.Sprintf("endpoint_speed_percent{endpoint=%q}", ep.ID), int64(percent*speed))
			add(fmt.Sprintf("endpoint_useful_calls{endpoint=%q}", ep.ID), int64(useful))
		}
	}
}
