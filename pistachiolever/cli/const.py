"""Exit codes, environment variables and demo values of the command line."""

from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_INVALID: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_NOT_RUN: Final = 5
EXIT_MAY_HAVE_RUN: Final = 6
OPERATOR_KEY_VARIABLE: Final = "PISTACHIOLEVER_OPERATOR_KEY"
ACCOUNT_KEY_VARIABLE: Final = "PISTACHIOLEVER_ACCOUNT_KEY"
AUTHORITY_FILE_VARIABLE: Final = "PISTACHIOLEVER_AUTHORITY_FILE"
FLEET_SECRET_VARIABLE: Final = "PISTACHIOLEVER_FLEET_SECRET"
DEMO_OPERATOR_KEY: Final = "demo-operator-key-not-for-production"
DEMO_FLEET_SECRET: Final = "demo-fleet-secret-not-for-production"
DEMO_BASE_PORT: Final = 7100
PLANNING_SERVICE: Final = "planning"
BOOKING_SERVICE: Final = "booking"
