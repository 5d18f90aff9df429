"""One router for each model and version with which the endpoint list labels its endpoints.

Endpoints without a label belong to the default router, which also keeps the subscription to the endpoint list
and the state that the routers share.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import structlog

from tuliptrack.decisions.model_catalog import MAX_MODELS, Model, ModelCatalog, NotServedError
from tuliptrack.fronts.port import ClientRequest, InvalidRequestError
from tuliptrack.interface import EndpointListUpdate, Event, Settings, UpdateKind
from tuliptrack.node.admission import RouterChoice
from tuliptrack.routing.router import Router

__all__ = ["ModelRouters"]

log = structlog.get_logger("node")

Dispatch = Callable[[Event, Router | None], None]


class ModelRouters:
    """The routers of one node."""

    def __init__(self, settings: Settings, seed: int, default: Router, dispatch: Dispatch) -> None:
        """Start with only the default router.

        Args:
            settings: The settings of every router.
            seed: The seed of the default router; each further router gets the next number.
            default: The router of endpoints without a label.
            dispatch: Passes an event to a router through the core.
        """
        self.settings, self.default, self.dispatch = settings, default, dispatch
        self.catalog = ModelCatalog(settings.roles)
        self.routers: dict[Model, Router] = {Model(): default}
        self._last_seed = seed

    def update(self, update: EndpointListUpdate, labels: Mapping[int, Model]) -> None:
        """Pass an update of the endpoint list to the routers that it concerns.

        Args:
            update: The update, for the endpoints of all models.
            labels: The model of each endpoint of the update.
        """
        if update.kind is UpdateKind.FAILED:
            self.dispatch(update, None)
            return
        updates = self.catalog.split_update(update, dict(labels))
        if update.kind is UpdateKind.CACHED:  # The default router awaits it, even without endpoints.
            updates.setdefault(Model(), EndpointListUpdate(update.kind, update.version))
        listed = set(self.catalog.listed())
        for model, model_update in updates.items():
            self.dispatch(model_update, self._router_for(model))
        self._remove_unused(listed)
        if self.catalog.over_limit:
            log.warning("engines of too many models", left_out=len(self.catalog.over_limit), max=MAX_MODELS)

    def _router_for(self, model: Model) -> Router:
        if model not in self.routers:
            self._last_seed += 1
            self.routers[model] = Router(self.settings, self._last_seed, self.default)
        return self.routers[model]

    def _remove_unused(self, listed: set[Model]) -> None:
        """Remove the routers of models that are no longer listed.

        A router with requests in flight is checked again with the next list.
        """
        for model in self.routers.keys() - listed - {Model()}:
            if not self.routers[model].in_flight:
                del self.routers[model]

    def choose_router(self, request: ClientRequest) -> RouterChoice:
        """Return the model and router of a request, and the reason if the request is rejected.

        Raises:
            InvalidRequestError: The request names a model that isn't known here.
        """
        # All requests of a session go to one version, so that what is cached for the session is found again.
        session = f"{request.tenant}\0{request.session or request.prompt}"
        try:
            model = self.catalog.choose(request.model, request.model_version, session)
        except NotServedError as error:
            if not error.is_listed:
                raise InvalidRequestError(error.field, error.reason, is_unknown=True) from None
            return RouterChoice(Model(), self.default, error.reason)
        return RouterChoice(model, self.routers.get(model, self.default))
