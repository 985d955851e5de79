"""Defines the workers and executors of the two demo deployments."""

import dataclasses

from limpetstream.platform import messages


@dataclasses.dataclass(slots=True)
class Layout:
    """Sizes of one deployment.

    Args:
        service: Desk service of the deployment.
        data_centres: Names of the data centres.
        workers_per_data_centre: Number of workers in a data centre, all in
            one rack; each has one executor.
        cores: Processors of a worker.
        memory_gb: Memory of a worker.
        accelerators: Accelerators of a worker.
    """

    service: str
    data_centres: tuple[str, ...]
    workers_per_data_centre: int
    cores: float = 64.0
    memory_gb: float = 250.0
    accelerators: int = 0

    def workers(self) -> list[messages.Instance]:
        """Return all workers of the deployment.

        >>> len(layout_by_name["brightwater"].workers())
        24
        >>> len(layout_by_name["alto-valle"].workers())
        33
        """
        return [
            messages.Instance(
                f"{data_centre}-w{number}",
                "worker",
                data_centre=data_centre,
                rack=f"{data_centre}-r1",
                cores=self.cores,
                memory_gb=self.memory_gb,
                accelerators=self.accelerators,
            )
            for data_centre in self.data_centres
            for number in range(1, self.workers_per_data_centre + 1)
        ]


layout_by_name: dict[str, Layout] = {
    "brightwater": Layout(
        "recover-desk", ("gl-erie", "gl-huron", "gl-michigan", "gl-ontario"), 6
    ),
    "alto-valle": Layout(
        "mesa-prensa", ("galpon-norte", "galpon-sur", "camara-fria"), 11
    ),
    "none": Layout("", (), 0),
}
