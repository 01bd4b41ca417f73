"""Lookups in a configuration document, computed once per revision."""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from oriolestage.core.configuration._configuration import (
    Configuration,
    Route,
    Target,
    serving_targets,
)


class ConfigurationIndex:
    """Answers questions about one immutable document."""

    def __init__(self, document: Configuration) -> None:
        """Build the lookups for ``document``."""
        self._document = document
        self._targets = {target.name: target for target in document.targets}
        self._routes = {route.name: route for route in document.routes}
        self._by_centre: dict[str, list[Target]] = defaultdict(list)
        for target in document.targets:
            self._by_centre[target.data_centre].append(target)
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
        """The document that this index describes."""
        return self._document

    @property
    def revision(self) -> int:
        """The revision of the document."""
        return self._document.revision

    def route(self, name: str) -> Route | None:
        """Give the route called ``name``, if there is one."""
        return self._routes.get(name)

    def target(self, name: str) -> Target | None:
        """Give the target called ``name``, if there is one."""
        return self._targets.get(name)

    def services_of(self, group: str) -> tuple[str, ...]:
        """Give the names of all services of a group."""
        return tuple(self._services_by_group.get(group, ()))

    def targets_by_data_centre(self) -> Mapping[str, Sequence[Target]]:
        """Give all targets, grouped by their data centre."""
        return self._by_centre

    def serving_targets_of(self, service: str) -> tuple[Target, ...]:
        """Give the targets of a service that may take work."""
        return tuple(self._serving.get(service, ()))

    def may_take_work(self, target_name: str) -> bool:
        """Tell whether a target, its service and its data centre are in."""
        return target_name in self._serving_names

    def region_of(self, data_centre: str) -> str:
        """Give the region of a data centre, or its own name if unknown."""
        return self._regions.get(data_centre, data_centre)
