#ifndef EELGRASSTRACK_CONFIG_CONFIG_KNOWLEDGE_H_
#define EELGRASSTRACK_CONFIG_CONFIG_KNOWLEDGE_H_

#include <optional>
#include <string>

#include "base/clock.h"

namespace eelgrasstrack {

/// What a node knows of the configuration that it holds.
struct config_knowledge
{
  /// Version held, 0 if there is none.
  std::uint64_t version = 0;
  /// Who supplied it: `store` or the name of a host; empty if there is none.
  std::string source;
  /// When this node began to use it.
  time_point taken_at{};
  /// Latest time at which the store is known to have held no later version;
  /// nothing before the first answer of the store, or of a node that had one.
  std::optional<time_point> confirmed_at;
  /// Same, as far as the store itself has answered this node.
  std::optional<time_point> read_at;

  /// Age of the knowledge of the store.
  std::optional<duration> StoreAge(time_point aNow) const
  {
    return confirmed_at ? std::optional(aNow - *confirmed_at) : std::nullopt;
  }

  /// Same, as far as the store itself has answered this node.
  std::optional<duration> ReadAge(time_point aNow) const
  {
    return read_at ? std::optional(aNow - *read_at) : std::nullopt;
  }
};

/// Age of the knowledge of the store in milliseconds, for a log line.
inline std::string
StoreAgeText(const config_knowledge& aConfig, time_point aNow)
{
  std::optional<duration> age = aConfig.StoreAge(aNow);
  return age ? std::to_string(Milliseconds(*age)) : "unknown";
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_CONFIG_CONFIG_KNOWLEDGE_H_
