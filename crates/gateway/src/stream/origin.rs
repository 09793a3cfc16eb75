//! Where the streams of callers began: looked up when a stream is taken up, recorded when one begins.

use super::Streams;
use crate::dialect::Dialect;
use crate::origin::Origin;
use crate::reply::Refusal;
use crate::request::CallerRequest;
use crate::upstream::Upstream;

impl<D: Dialect> Streams<D> {
    /// Returns where the stream began that a request takes up; `None` if it takes up none.
    ///
    /// # Errors
    /// Returns the refusal if the stream can't go on.
    pub(crate) async fn origin(&self, request: &CallerRequest) -> Result<Option<Origin>, Refusal> {
        if !request.takes_up_stream() {
            return Ok(None);
        }
        let origin = match &request.head.resumed {
            Some(began) => {
                let holders = self.shared.directory().holders();
                self.origins.find(request.stream_key(began), &holders).await
            }
            None => self.only_origin(request),
        };
        let directory = self.shared.directory();
        let goes_on = |it: &Origin| {
            request.route.uses(&it.service) && directory.has_open_at(&it.service, &it.version)
        };
        let refusal = match &origin {
            None => Err(Refusal::NoOrigin),
            Some(origin) if !goes_on(origin) => Err(Refusal::NoVersion),
            Some(_) => Ok(()),
        };
        log::info!(request = request.head.attempt.as_str(), resumes = request.head.resumed.as_deref(),
            service = origin.as_ref().map(|it| it.service.as_str()),
            version = origin.as_ref().map(|it| it.version.to_string()), last = request.head.last_event,
            refusal = refusal.err().map(Refusal::name),
            age_ms = request.arrived.elapsed().as_millis() as u64; "a caller takes up a stream");
        refusal.map(|()| origin)
    }

    /// Returns the origin of any stream of a request's route, if there is only one: a caller may not tell
    /// which attempt began its stream.
    fn only_origin(&self, request: &CallerRequest) -> Option<Origin> {
        let directory = self.shared.directory();
        let mut services = request.route.split.iter().filter(|it| it.1 > 0).map(|it| &it.0);
        let service = services.next()?;
        let version = directory.only_version(service)?.clone();
        services.next().is_none().then(|| Origin { service: service.to_string(), version })
    }

    /// Records where a stream began, before its caller has an event of it.
    pub(super) async fn record_origin(&self, request: &CallerRequest, upstream: &Upstream) {
        if !request.route.resumable || !upstream.version.is_known() {
            return;
        }
        let (service, version) = (upstream.service.to_string(), upstream.version.clone());
        let (key, time) = (request.own_stream_key(), request.resumable_time());
        let holders = self.shared.directory().holders();
        self.origins.record(key, Origin { service, version }, time, &holders).await;
    }
}
