"""Earlier builds of the product, from the repository's history."""

import io
import subprocess
import tarfile
from pathlib import Path

from platform_soak.hosts import ROOT
from platform_soak.plan import PlanError

#: Time that git may take, in seconds.
GIT_TIMEOUT_S = 60


def check_out(commit: str, folder: Path) -> Path:
    """Write the files of a commit to a folder and return it.

    Its locked packages have to be those at hand. Raises ``PlanError`` if
    there is no such commit, or its packages are others.
    """
    try:
        archive = subprocess.run(
            ('git', 'archive', '--format=tar', commit),
            cwd=ROOT,
            check=True,
            capture_output=True,
            timeout=GIT_TIMEOUT_S,
        ).stdout
    except subprocess.SubprocessError as error:
        raise PlanError(f'no build of {commit}: {error}') from error
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder, filter='data')
    lock = 'requirements-run.lock'
    if (folder / lock).read_bytes() != (ROOT / lock).read_bytes():
        raise PlanError(f'{commit} needs other packages')
    return folder
