"""Records what endpoints ask of this router in their responses."""

from collections.abc import Callable

from attrs import define

from pistachiolever.admission.rate_limit import parse_rate
from pistachiolever.core.pause import pause_seconds
from pistachiolever.events.const import EventCode
from pistachiolever.events.logger import EventLogger
from pistachiolever.gateway.endpoint_handle import EndpointHandle
from pistachiolever.gateway.models import ResponseMetadata
from pistachiolever.gateway.notices import EndpointNotices
from pistachiolever.gateway.settings import GatewaySettings


@define
class NoticeRecorder:
    """Records notices of leaving, pauses and request rates."""

    settings: GatewaySettings
    events: EventLogger
    notices: EndpointNotices
    now: Callable[[], float]

    def record(
        self,
        handle: EndpointHandle,
        request_id: str,
        metadata: ResponseMetadata,
        sent_at: float,
    ) -> None:
        """Record what an endpoint asks of this router in a response.

        `sent_at` is when its request was sent.
        """
        endpoint, now = handle.endpoint, self.now()
        self._record_rate(handle, request_id, metadata.rate_limit, sent_at)
        if metadata.leaving and self.notices.record_leaving(endpoint, now):
            self.events.record(
                EventCode.ENDPOINT_LEAVING,
                request_id,
                endpoint=endpoint.endpoint_id,
                born=endpoint.born_ms,
                seconds=self.settings.drain_seconds,
            )
            handle.withdraw_bids()
        if metadata.retry_after is None:
            return
        seconds = pause_seconds(metadata.retry_after)
        self.events.record(
            EventCode.ENDPOINT_PAUSED,
            request_id,
            endpoint=endpoint.endpoint_id,
            born=endpoint.born_ms,
            seconds=seconds or 0.0,
            asked=metadata.retry_after[:40],
        )
        if seconds is not None:
            self.notices.record_pause(endpoint, seconds, now)
            handle.withdraw_bids()

    def _record_rate(
        self,
        handle: EndpointHandle,
        request_id: str,
        rate_limit: str | None,
        sent_at: float,
    ) -> None:
        """Record the request rate that an endpoint accepts.

        A value that can't be read changes nothing.
        """
        try:
            rate = parse_rate(rate_limit)
            is_news = handle.rate_notice.observe(rate, sent_at, self.now())
        except ValueError:
            is_news = True
        if not is_news:
            return
        self.events.record(
            EventCode.ENDPOINT_LIMITED,
            request_id,
            endpoint=handle.endpoint.endpoint_id,
            born=handle.endpoint.born_ms,
            rate=handle.rate_notice.requests_per_second,
            named=(rate_limit or "")[:40],
        )
