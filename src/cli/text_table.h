// A table for people: columns as wide as their widest cell.
//
//   TextTable table({"VM", "STATE"});
//   table.Add({"entry-1", "serving"});
//   table.Print(std::cout);
#ifndef VANILLALATCH_SRC_CLI_TEXT_TABLE_H_
#define VANILLALATCH_SRC_CLI_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace vanillalatch {

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // As many cells as the header has.
  void Add(std::vector<std::string> row);
  bool empty() const { return rows_.size() == 1; }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The header first.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_TEXT_TABLE_H_
