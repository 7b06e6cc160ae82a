from __future__ import annotations

from cedarchute.metrics import Metrics


def test_counters_and_latencies_are_told_in_the_form_of_scrapers():
    metrics = Metrics()
    metrics.count_refusal("not_run")
    for seconds in (0.001, 0.3, 99.0):
        metrics.time("calls.seconds", seconds)
    text = metrics.render_text()
    assert 'cedarchute_events_total{name="refused.not_run"} 1.0' in text
    assert 'cedarchute_seconds_bucket{le="0.002",name="calls.seconds"} 1.0' in text
    assert 'cedarchute_seconds_bucket{le="0.5",name="calls.seconds"} 2.0' in text
    assert 'cedarchute_seconds_bucket{le="+Inf",name="calls.seconds"} 3.0' in text
    assert 'cedarchute_seconds_sum{name="calls.seconds"} 99.301' in text
