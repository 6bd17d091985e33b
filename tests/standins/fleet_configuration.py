"""A realistic fleet configuration for runs on a virtual clock."""

from tarragonrudder.core.domain.fleet import (
    ClientAccount,
    Configuration,
    Engine,
    LayerRange,
    Model,
    ModelRoute,
    Priority,
)

LAYER_COUNT = 12
STAGES = (LayerRange(0, 3), LayerRange(4, 7), LayerRange(8, 11))
DATA_CENTERS = ("dc-1", "dc-2", "dc-3")
TOKEN_SECONDS = 0.045  # for all layers of one token
BATCH_LIMIT = 32  # concurrent answers per engine
ACCOUNT_RATE = 1e6  # requests per second, never reached; limits are tested elsewhere


def make_configuration(
    engines_per_stage: int = 3, deadline: float = 60.0, version: str = "1"
) -> Configuration:
    """Return a fleet whose engines each serve one of three layer ranges."""
    speed = BATCH_LIMIT * LAYER_COUNT / TOKEN_SECONDS
    engines = []
    for stage, layers in enumerate(STAGES):
        for index in range(engines_per_stage):
            engines.append(
                Engine(
                    f"engine-{stage}-{index}",
                    "",
                    DATA_CENTERS[index % len(DATA_CENTERS)],
                    "l40",
                    "jury",
                    version,
                    layers,
                    speed,
                    BATCH_LIMIT,
                )
            )
    return Configuration(
        1,
        "digest",
        models=(Model("jury", version, LAYER_COUNT),),
        engines=tuple(engines),
        accounts=(ClientAccount("courts", (), ACCOUNT_RATE, ACCOUNT_RATE),),
        priorities=(Priority("normal", 1, deadline),),
        model_routes=(ModelRoute("jury", "jury", version),),
    )
