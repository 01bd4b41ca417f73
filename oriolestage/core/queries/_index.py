"""Lookup tables over a configuration document, built once per revision."""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from oriolestage.core.configuration._configuration import (
    Configuration,
    Route,
    Target,
    serving_targets,
)


class ConfigurationIndex:
    """Looks up routes, services and targets of one immutable document."""

    def __init__(self, document: Configuration) -> None:
        """Build the lookup tables for ``document``."""
        self._document = document
        self._targets = {target.name: target for target in document.targets}
        self._routes = {route.name: route for route in document.routes}
        self._by_data_centre: dict[str, list[Target]] = defaultdict(list)
        for target in document.targets:
            self._by_data_centre[target.data_centre].append(target)
        self._services_by_group: dict[str, list[str]] = defaultdict(list)
        for service in document.services:
            self._services_by_group[service.group].append(service.name)
        self._serving: dict[str, list[Target]] = defaultdict(list)
        for target in serving_targets(document):
            self._serving[target.service].append(target)
        self._serving_names = frozenset(
            target.name for target in serving_targets(document)
        )
        self._regions = {
            centre.name: centre.region for centre in document.data_centres
        }

    @property
    def document(self) -> Configuration:
        """The indexed document."""
        return self._document

    @property
    def revision(self) -> int:
        """The revision of the document."""
        return self._document.revision

    def route(self, name: str) -> Route | None:
        """Return the route called ``name``, or None."""
        return self._routes.get(name)

    def target(self, name: str) -> Target | None:
        """Return the target called ``name``, or None."""
        return self._targets.get(name)

    def services_of(self, group: str) -> tuple[str, ...]:
        """Return the names of all services of a group."""
        return tuple(self._services_by_group.get(group, ()))

    def targets_by_data_centre(self) -> Mapping[str, Sequence[Target]]:
        """Return all targets, grouped by data centre."""
        return self._by_data_centre

    def serving_targets_of(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that accept work."""
        return tuple(self._serving.get(service, ()))

    def may_take_work(self, target_name: str) -> bool:
        """Return whether a target, its service and data centre accept work."""
        return target_name in self._serving_names

    def region_of(self, data_centre: str) -> str:
        """Return the region of a data centre, or its name if it is unknown."""
        return self._regions.get(data_centre, data_centre)
