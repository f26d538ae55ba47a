#ifndef EELGRASSTRACK_DISTRIBUTION_CONFIG_STATE_H_
#define EELGRASSTRACK_DISTRIBUTION_CONFIG_STATE_H_

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace eelgrasstrack {

/// Key of the one object that holds the accepted configuration.
inline constexpr const char* kConfigKey = "config";

/// An accepted command, kept so that a repeated one is applied once.
struct accepted_operation
{
  std::string id;
  std::uint64_t version = 0;
};

/// What the store holds: the configuration and its latest operations.
struct config_state
{
  std::uint64_t version = 0;
  document_map documents;
  std::vector<accepted_operation> operations;

  const accepted_operation* FindOperation(const std::string& aId) const;
};

std::string
EncodeConfigState(const config_state& aState);

/// Fails with `internal` if the store holds something else.
result<config_state>
DecodeConfigState(const std::string& aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_DISTRIBUTION_CONFIG_STATE_H_
